"""A processor that runs every message at once: prints `ran ID BYTES`, answers 200 with a stamp.

Arguments: address, port.
"""
import os
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Endpoint(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        size = left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            part = self.rfile.read(min(left, 65536))
            if not part:
                return
            left -= len(part)
        name = self.headers.get("X-Attempt-Id", "")
        os.write(1, f"ran {name} {size}\n".encode())
        self.send_response(200)
        self.send_header("X-Attempt-Id", name)
        self.send_header("X-Seal", f"seal.{name}")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


Server((sys.argv[1], int(sys.argv[2])), Endpoint).serve_forever()
