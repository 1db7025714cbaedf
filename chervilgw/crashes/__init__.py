import hashlib

from returns.result import Success


class T:
    def on_crash_report(self, r, n):
        pass

    def suspect_crashes(self, d):
        return ()

    def check(self, d, n, l):
        return Success(None)

    def blocked(self, n, l):
        return ()


def make_crash_tracker(**k):
    return T()


def request_digest(a, b, c):
    return hashlib.blake2b(f"{a}\0{b}\0".encode() + c, digest_size=16).hexdigest()
