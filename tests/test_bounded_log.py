"""Tests of the non-blocking log output."""

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

    def test_slow_reader_causes_dropped_lines_instead_of_blocking(self):
        """Guards against a slow log reader that blocks the process or lets its buffer grow without
        bound."""
        total = MAX_PENDING_LINES * 4
        for number in range(total):
            self.log.msg(f"{number:>100}")
        self.assertGreater(self.log.dropped, 0)
        self.read()
        self.log.msg("after")
        lines = self.read().decode().splitlines()
        self.assertEqual(lines, [f"dropped {self.log.dropped}", "after"])

    def test_lines_are_not_split_when_the_pipe_is_full(self):
        """Guards against corrupt lines when the pipe accepts only part of one."""
        for number in range(1_500):
            self.log.msg(f"{number:>99}")
        lines = self.read().decode().splitlines()
        self.assertEqual([int(line) for line in lines], list(range(1_500)))

    def test_closed_pipe_raises_no_error(self):
        """Guards against requests that fail because the log's reader has exited."""
        os.close(self.reader)
        self.log.msg("a")
        self.assertEqual(self.log.dropped, 1)
        self.reader, unused_writer = os.pipe()
        os.close(unused_writer)


if __name__ == "__main__":
    unittest.main()
