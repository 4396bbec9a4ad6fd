"""Stand-in for a faulty backend, a process of its own: bodies without end, in chunks of one byte.

Arguments: host, name of the backend. It prints its port. After SIGUSR1 a share of its answers to
requests have no end, until the caller closes; before, and after SIGUSR2, it answers like a sound
backend. Status checks are always answered soundly.
"""

from __future__ import annotations

import random
import signal
import socket
import sys
import threading
import time

PART = b"1\r\nx\r\n" * 10_000
WORK_SECONDS = 0.13
SHARE = 0.55
is_faulty = False


def switch(number: int, _frame: object) -> None:
    global is_faulty
    is_faulty = number == signal.SIGUSR1


def read_head(sock: socket.socket) -> dict[str, str] | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            return None
        data += part
    lines = data.decode("latin-1").split("\r\n")
    headers = {"": lines[0]}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


def serve(sock: socket.socket, name: str) -> None:
    load = "Server-Load: 0,0,3,100\r\n"
    try:
        while (headers := read_head(sock)) is not None:
            if headers[""].startswith("GET /health"):
                head = f"HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\n{load}Content-Length: 0\r\n\r\n"
                sock.sendall(head.encode())
                continue
            request_id = headers.get("request-id", "")
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{load}"
            head += f"Server-Stamp: {name}.{request_id}\r\n"
            if is_faulty and random.random() < SHARE:
                sock.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
                while True:
                    sock.sendall(PART)
            time.sleep(WORK_SECONDS)
            sock.sendall(f"{head}Content-Length: 4\r\n\r\ndone".encode())
    except OSError:
        pass
    finally:
        sock.close()


def main() -> None:
    host, name = sys.argv[1:3]
    signal.signal(signal.SIGUSR1, switch)
    signal.signal(signal.SIGUSR2, switch)
    listener = socket.socket()
    listener.bind((host, 0))
    listener.listen(128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, name), daemon=True).start()


if __name__ == "__main__":
    main()
