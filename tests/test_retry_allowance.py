"""Tests of the retry budget that all instances share."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.gateway.gateway_settings import GatewaySettings
from sapphireledge.gateway.retry_allowance import RetryAllowance

CFG = GatewaySettings("e1", "dc-a", "127.0.0.1", 1, "127.0.0.1", 2, 3, 3.8, 8.0)

SHARED_RATIO = 0.8
SHARED_SLACK = 150


class RetryAllowanceTest(unittest.TestCase):
    @given(
        instances=st.integers(2, 120),
        requests=st.lists(st.integers(0, 30), min_size=2, max_size=2),
        wanted=st.integers(0, 100),
    )
    def test_all_instances_together_stay_within_the_budget(self, instances, requests, wanted):
        """Guards against instances whose retries together exceed the shared budget."""
        allowances = [RetryAllowance(CFG, lambda: instances) for _ in range(instances)]
        spent = [0, 0]
        for window in (0, 1):
            for allowance in allowances:
                for _ in range(requests[window]):
                    allowance.on_request()
                now = 10.0 * (window + 1)
                spent[window] += sum(allowance.try_spend(now) for _ in range(wanted))
        counted = max(requests) * instances
        self.assertLessEqual(spent[1], SHARED_RATIO * counted + SHARED_SLACK)

    def test_instance_without_requests_may_retry_once(self):
        """Guards against an instance with so little traffic that it can never retry."""
        allowance = RetryAllowance(CFG, lambda: 300)
        self.assertTrue(allowance.try_spend(1.0))
        self.assertFalse(allowance.try_spend(1.1))


if __name__ == "__main__":
    unittest.main()
