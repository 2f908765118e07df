"""Adapter between the users' platform and the product."""

from __future__ import annotations

import os

# Without TLS, reading the machine's certificates only delays the start.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull
