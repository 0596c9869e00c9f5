"""A process that ignores SIGTERM."""

import signal
import time

LIFETIME_S = 60

if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    print("ready", flush=True)
    time.sleep(LIFETIME_S)
