"""Tests of rows in answers of the store that are not objects as the store describes them."""

from __future__ import annotations

import unittest

import msgspec
from test_platform_adapter import SERVER, ScriptedStore, stored_object

from sapphireledge.feed import SourceError, StoreEpoch
from sapphireledge.feed.feed_message import FeedEntry, FeedReply, KindReply
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings

NAMELESS_ROWS = (
    None,
    1,
    "s",
    [],
    {},
    {"spec": SERVER},
    {"metadata": None, "spec": SERVER},
    {"metadata": [], "spec": SERVER},
    {"metadata": {"revision": 1}, "spec": SERVER},
    {"metadata": {"name": None}, "spec": SERVER},
    {"metadata": {"name": 7}, "spec": SERVER},
    {"metadata": {"name": ["s"]}, "spec": SERVER},
)

NAMED_ROWS = (
    {"metadata": {"name": "odd"}},
    {"metadata": {"name": "odd", "revision": None}, "spec": 1},
    {"metadata": {"name": "odd", "revision": "1"}, "spec": 1},
    {"metadata": {"name": "odd", "revision": 1.5}, "spec": 1},
    {"metadata": {"name": "odd", "revision": -1}, "spec": 1},
    {"metadata": {"name": "odd", "revision": msgspec.Raw(b"1" + b"0" * 30)}, "spec": 1},
    {"metadata": {"name": "odd", "created": msgspec.Raw(b"1" + b"0" * 30)}, "spec": 1},
    {"metadata": {"name": "odd", "created": {}, "finalizers": 3, "deleting": "no"}, "spec": 1},
    {"metadata": {"name": "odd", "note": msgspec.Raw(b'"\\ud800"')}, "spec": 1},
    {"metadata": {"name": "odd", "note": msgspec.Raw(b"[" * 99 + b"]" * 99)}, "spec": 1},
)

SOUND = stored_object("s1", SERVER)


def decode_on_full_stack(data, frames):
    """Decodes a reply while the stack holds a number of frames."""
    if frames:
        return decode_on_full_stack(data, frames - 1)
    return msgspec.msgpack.decode(data, type=FeedReply)


class OddRowsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = ScriptedStore()
        await self.store.start()
        self.client = StoreClient(
            StoreSettings("127.0.0.1", self.store.port), StoreEpoch(), has_records=True
        )

    async def asyncTearDown(self):
        self.client.close()
        self.store.stop()

    async def list_entries(self, *pages):
        self.store.calls = []
        self.store.answers = [
            (200, {"items": list(rows), "more": page < len(pages), "store_revision": 3})
            for page, rows in enumerate(pages, 1)
        ]
        return (await self.client.list("servers")).entries

    async def watch_entries(self, *rows):
        events = [{"object": row} for row in rows]
        self.store.answers = [(200, {"events": events, "store_revision": 4})]
        return (await self.client.watch("servers", 3, 0.1)).entries

    async def test_row_without_a_name(self):
        """Guards against a listing or a watch that fails for good because of one row."""
        for row in NAMELESS_ROWS:
            with self.subTest(row):
                for entries in (
                    await self.list_entries([row, SOUND]),
                    await self.watch_entries(row, SOUND),
                ):
                    self.assertEqual([(e.name, e.spec) for e in entries], [("s1", SERVER)])

    async def test_row_with_a_name(self):
        """Guards against the same, and against rows that cannot be passed on to followers."""
        for row in NAMED_ROWS:
            with self.subTest(row):
                for entries in (
                    await self.list_entries([row, SOUND]),
                    await self.watch_entries(row, SOUND),
                ):
                    self.assertEqual([e.name for e in entries], ["odd", "s1"])
                    self.assertEqual(entries[1].spec, SERVER)
                    msgspec.msgpack.encode([entry.record for entry in entries])

    async def test_nesting_that_only_this_instance_follows(self):
        """Guards against followers that leave a relay because of one entry."""
        for depth in (65, *range(500, 1_000, 20)):
            nested = msgspec.Raw(b"[" * depth + b"]" * depth)
            odd = {"metadata": {"name": "odd"}, "spec": {**SERVER, "extra": nested}}
            with self.subTest(depth):
                entries = await self.list_entries([odd, SOUND])
                self.assertEqual({**entries[0].spec, "extra": None}, {**SERVER, "extra": None})
                content = [FeedEntry(entry.name, entry.spec, False) for entry in entries]
                reply = FeedReply(0.0, {"servers": KindReply(7, 0.0, True, content)})
                data = msgspec.msgpack.encode(reply)
                self.assertEqual(decode_on_full_stack(data, 200), reply)

    async def test_unreadable_field_beside_an_object(self):
        """Guards against an exception that no reader of the store expects."""
        odd = msgspec.Raw(b'"\\ud800"')
        event = {"object": SOUND, "note": odd}
        self.store.answers = [(200, {"events": [event], "store_revision": 4, "note": odd})]
        changes = await self.client.watch("servers", 3, 0.1)
        self.assertEqual([entry.spec for entry in changes.entries], [SERVER])
        self.store.answers = [(200, {"items": [SOUND], "store_revision": 4, "note": odd})]
        self.assertEqual(len((await self.client.list("servers")).entries), 1)
        self.store.answers = [(200, {**SOUND, "note": odd})]
        self.assertEqual((await self.client.read("servers", "s1")).spec, SERVER)

    async def test_page_of_unreadable_names(self):
        """Guards against a listing that ends early, so that servers count as gone."""
        odd = {"metadata": {"name": msgspec.Raw(b'"s0\\ud800"')}, "spec": 1}
        entries = await self.list_entries([stored_object("s0", SERVER)], [odd], [SOUND])
        self.assertEqual([entry.name for entry in entries], ["s0", "s1"])
        self.assertEqual(
            self.store.calls[1:],
            [
                "/objects/servers?after_rev=s0",
                "/objects/servers?after_rev=s0%ED%A0%80",
            ],
        )

    async def test_listing_that_makes_no_progress(self):
        """Guards against endless calls, and against servers that count as gone."""
        rows = [stored_object("s0", SERVER), SOUND]
        for case, pages in {
            "the same page again": [rows] * 9,
            "two pages in turn": [rows, rows[:1]] * 5,
            "no rows": [[], rows],
            "no names": [rows, [{}, 1], rows],
        }.items():
            with self.subTest(case):
                with self.assertRaises(SourceError):
                    await self.list_entries(*pages)
                self.assertLessEqual(len(self.store.calls), 3)


if __name__ == "__main__":
    unittest.main()
