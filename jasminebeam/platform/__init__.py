"""Adapter between jasminebeam and an external hosting platform."""

from __future__ import annotations

import os

# The adapter opens no TLS connections. Loading the system's CA certificates
# would only delay the start of the process.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull
