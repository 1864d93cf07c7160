"""A span for each hop, each a child of the previous one."""

import json
import pathlib
import tempfile
import unittest

from linnetwood.core.traces import NoTraces, open_traces

TRACE = '0af7651916cd43dd8448eb211c80319c'
PARENT = f'00-{TRACE}-b7ad6b7169203331-01'


class TracesTest(unittest.TestCase):
    """Check recorded spans and propagated contexts."""

    def test_hops(self) -> None:
        """Entry and endpoint are in one trace, one the parent of the other."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'spans.jsonl')
            traces = open_traces(str(path), 'vm')
            entry = traces.span('entry', PARENT)
            endpoint = traces.span('endpoint', entry.traceparent)
            endpoint.end(outcome='ANSWERED')
            entry.end(call='c')
            traces.close()
            lines = path.read_text().splitlines()
        inner, outer = (json.loads(line) for line in lines)
        self.assertEqual([inner['name'], outer['name']], ['endpoint', 'entry'])
        self.assertEqual(inner['parent_id'], outer['context']['span_id'])
        self.assertEqual(outer['parent_id'], '0xb7ad6b7169203331')
        for span in (inner, outer):
            self.assertEqual(span['context']['trace_id'], f'0x{TRACE}')
        self.assertEqual(inner['attributes'], {'outcome': 'ANSWERED'})

    def test_not_recorded(self) -> None:
        """Without a file the caller's context is propagated unchanged."""
        traces = open_traces('', 'vm')
        self.assertIsInstance(traces, NoTraces)
        self.assertEqual(traces.span('entry', PARENT).traceparent, PARENT)

    def test_callers_without_a_context(self) -> None:
        """A call without a context, or with a bad one, starts a trace."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'spans.jsonl')
            traces = open_traces(str(path), 'vm')
            for given in ('', 'nonsense'):
                span = traces.span('entry', given)
                self.assertRegex(span.traceparent, '^00-[0-9a-f]{32}-')
                span.end()
            traces.close()


if __name__ == '__main__':
    unittest.main()
