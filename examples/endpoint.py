"""A sample endpoint that runs every message, and prints messages and call-backs.

Each response repeats the X-Attempt-Id of its request. A response without it might belong
to another request, so the system does not regard the message as finished.
"""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ADDRESS = ("127.0.0.1", 9000)


class Endpoint(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers.get("X-Attempt-Id")
        print("ran" if attempt else "call-back", attempt or "", body.decode(errors="replace"), flush=True)
        self.send_response(200)
        if attempt:
            self.send_header("X-Attempt-Id", attempt)
            self.send_header("X-Seal", f"seal-{attempt}")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


server = ThreadingHTTPServer(ADDRESS, Endpoint)
print("listening on %s:%d" % ADDRESS, flush=True)
server.serve_forever()
