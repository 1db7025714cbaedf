"""Prints the text of ``docs/metrics.md``."""

import sys

from chervilgw.telemetry.table import metrics_page

if __name__ == "__main__":
    sys.stdout.write(metrics_page())
