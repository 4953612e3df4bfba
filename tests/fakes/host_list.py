"""A fake of the platform: serves its list of live and leaving hosts, which may lag."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Platform(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), PlatformHandler)
        self.live, self.leaving = set(), set()
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_address[1]


class PlatformHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        body = json.dumps({"live": sorted(self.server.live), "leaving": sorted(self.server.leaving)}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass
