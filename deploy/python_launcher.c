/*
 * Runs the Python interpreter in this process with the signals of the platform blocked.
 *
 * A signal that arrives before the program has installed its handlers stays pending. The program
 * unblocks the signals; see src/sapphireledge/process_signals.py.
 *
 * The build defines PYTHON, the path of the interpreter, and PYTHON_LIBRARY, the path of its shared
 * library, which is empty where the interpreter is linked statically.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

typedef int (*python_main)(int argc, char **argv);

static void block_signals(void)
{
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, NULL);
}

int main(int argc, char **argv)
{
    block_signals();
    /* The interpreter finds its modules by its own path. */
    argv[0] = PYTHON;
    /* Loaded only now, because loading takes longer than the rest of the start of a C program. */
    void *library = PYTHON_LIBRARY[0] ? dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL) : NULL;
    python_main run = library ? (python_main)dlsym(library, "Py_BytesMain") : NULL;
    if (run)
        return run(argc, argv);
    /* The new program inherits the blocked signals. */
    execv(PYTHON, argv);
    perror(PYTHON);
    return 127;
}
