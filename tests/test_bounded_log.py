"""Log output that never blocks the process."""

from __future__ import annotations

import os
import unittest

from sapphireledge.gateway import BoundedLog
from sapphireledge.gateway.bounded_log import MAX_PENDING_LINES


class BoundedLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.log = BoundedLog(self.writer, lambda count: f"dropped {count}")

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def read(self):
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data
            self.log.flush()

    def test_slow_reader_costs_lines_and_not_time(self):
        """Guards against a process that waits for its log's reader or grows without bound."""
        total = MAX_PENDING_LINES * 4
        for number in range(total):
            self.log.msg(f"{number:>100}")
        self.assertGreater(self.log.dropped, 0)
        self.read()
        self.log.msg("after")
        lines = self.read().decode().splitlines()
        self.assertEqual(lines, [f"dropped {self.log.dropped}", "after"])

    def test_lines_stay_whole(self):
        """Guards against torn lines when the pipe is full in the middle of one."""
        for number in range(1_500):
            self.log.msg(f"{number:>99}")
        lines = self.read().decode().splitlines()
        self.assertEqual([int(line) for line in lines], list(range(1_500)))

    def test_reader_that_is_gone_does_not_stop_the_process(self):
        """Guards against an error of the log that ends requests."""
        os.close(self.reader)
        self.log.msg("a")
        self.assertEqual(self.log.dropped, 1)
        self.reader, other = os.pipe()
        os.close(other)


if __name__ == "__main__":
    unittest.main()
