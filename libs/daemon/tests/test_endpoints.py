import os
import tempfile
import unittest
from pathlib import Path

from balsamspoke_daemon.endpoints import RenewedCertificate

from .certificates import write_authority, write_pair


class RenewedCertificateTest(unittest.TestCase):
    def test_a_renewed_file_is_used_for_the_next_connection(self):
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder)
            authority = write_authority(directory)
            certificate, key, _ = write_pair(directory, authority)
            renewed = RenewedCertificate(certificate, key)
            first = renewed.getContext()
            self.assertIs(renewed.getContext(), first)
            write_pair(directory, authority)
            later = certificate.stat().st_mtime + 10
            os.utime(certificate, (later, later))
            self.assertIsNot(renewed.getContext(), first)
