"""A stand-in endpoint: runs every message, and prints messages and call-backs."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Endpoint(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        name = self.headers.get("X-Attempt-Id")
        print("ran" if name else "call-back", name or "", body.decode(errors="replace"), flush=True)
        self.send_response(200)
        if name:
            self.send_header("X-Seal", f"seal-{name}")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


ThreadingHTTPServer(("127.0.0.1", 9000), Endpoint).serve_forever()
