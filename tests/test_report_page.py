"""Tests of the page of an experiment: as strict as a browser can be without one."""

from __future__ import annotations

import base64
import io
import itertools
import tempfile
import unittest
from pathlib import Path

import html5lib
import matplotlib.image
from experiment_case import make_experiment
from matplotlib.backends.backend_agg import FigureCanvasAgg

from sapphireledge_experiment import run_experiment
from sapphireledge_experiment.report import write_report
from sapphireledge_experiment.report.plots import (
    draw_comparison,
    draw_occupancy,
    draw_served,
    draw_waiting,
)

NAMES = (
    "current",
    "wait for an engine that has the prompt of the stream in its cache, at most two seconds",
    "send at once & <resume> where a copy is",
    "limit the resumes at each engine to one for every four streams that it runs at the moment",
)
"""Names of policies, long ones and some with characters that HTML treats specially."""

DRAWINGS = (draw_comparison, draw_occupancy, draw_served, draw_waiting)

INK = 250
"""Mean brightness below which an image shows something, 255 is a white sheet."""


def list_tick_labels(axes):
    """Lists the labels of the ticks that lie within the plot; others are not drawn."""
    for axis in (axes.xaxis, axes.yaxis):
        low, high = sorted(axis.get_view_interval())
        for tick in axis.get_major_ticks():
            if low <= tick.get_loc() <= high and tick.label1.get_visible():
                yield tick.label1


class ReportPageTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        path = Path(cls.folder.name)
        experiment = make_experiment()
        run_experiment.run_experiment(experiment, path, 1)
        results = run_experiment.load_results(experiment, path)
        cls.results = dict(zip(NAMES, itertools.cycle(results.values()), strict=False))
        page = write_report("Flood & <losses>", cls.results, NAMES[0], path)
        # A strict parser raises an error where a browser would guess what is meant.
        parser = html5lib.HTMLParser(strict=True, namespaceHTMLElements=False)
        cls.tree = parser.parse(page.read_text(encoding="utf-8"))

    def test_tables_are_complete(self):
        """Guards against rows that are shorter or longer than their heading."""
        tables = self.tree.findall(".//table")
        self.assertEqual(len(tables), 4)
        for table in tables:
            head, *rows = table.iter("tr")
            columns = len(head.findall("th"))
            self.assertGreater(columns, 2)
            self.assertGreaterEqual(len(rows), len(NAMES) - 1)
            self.assertEqual({len(row.findall("td")) for row in rows}, {columns})
            self.assertTrue(all((cell.text or "").strip() for row in rows for cell in row))

    def test_names_are_shown_as_they_are(self):
        """Guards against names that are read as markup."""
        text = "".join(self.tree.itertext())
        for name in NAMES:
            self.assertIn(name, text)
        self.assertEqual(self.tree.find(".//h1").text, "Flood & <losses>")

    def test_images_are_embedded_and_show_something(self):
        """Guards against pages that need a network, and against empty images."""
        images = self.tree.findall(".//img")
        self.assertEqual(len(images), len(DRAWINGS))
        for image in images:
            kind, data = image.get("src").split(",", 1)
            self.assertEqual(kind, "data:image/png;base64")
            pixels = matplotlib.image.imread(io.BytesIO(base64.b64decode(data)), format="png")
            self.assertGreater(min(pixels.shape[:2]), 100)
            self.assertLess(pixels[..., :3].mean() * 255, INK)
            self.assertTrue(image.get("alt"))
        for node in self.tree.iter():
            self.assertNotIn(node.tag, ("script", "link", "iframe"))

    def test_labels_do_not_overlap(self):
        """Guards against names of policies that cover each other or leave the image."""
        for draw in DRAWINGS:
            with self.subTest(draw.__name__):
                figure = draw(self.results)
                canvas = FigureCanvasAgg(figure)
                canvas.draw()
                renderer = canvas.get_renderer()
                texts = [text for axes in figure.axes for text in list_tick_labels(axes)]
                texts += [axes.title for axes in figure.axes]
                texts += [text for legend in figure.legends for text in legend.get_texts()]
                boxes = [t.get_window_extent(renderer) for t in texts if t.get_text().strip()]
                for box in boxes:
                    self.assertGreaterEqual(box.x0, 0.0)
                    self.assertLessEqual(box.x1, figure.bbox.x1)
                for one, other in itertools.combinations(boxes, 2):
                    self.assertFalse(one.overlaps(other), (one, other))

    def test_plots_keep_their_width(self):
        """Guards against names that leave no room for what they name."""
        for draw in DRAWINGS:
            with self.subTest(draw.__name__):
                figure = draw(self.results)
                FigureCanvasAgg(figure).draw()
                width = max(axes.get_window_extent().x1 for axes in figure.axes) - min(
                    axes.get_window_extent().x0 for axes in figure.axes
                )
                self.assertGreater(width, 0.4 * figure.bbox.width)


if __name__ == "__main__":
    unittest.main()
