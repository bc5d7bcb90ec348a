import os
import tempfile
import unittest
from pathlib import Path

from balsamspoke_daemon.endpoints import ReloadingCertificate

from .certificates import write_authority, write_pair


class ReloadingCertificateTest(unittest.TestCase):
    def test_changed_files_are_reloaded_for_the_next_connection(self):
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder)
            authority = write_authority(directory)
            certificate, key, _ = write_pair(directory, authority)
            reloading = ReloadingCertificate(certificate, key)
            first = reloading.getContext()
            self.assertIs(reloading.getContext(), first)
            write_pair(directory, authority)
            later = certificate.stat().st_mtime + 10
            os.utime(certificate, (later, later))
            self.assertIsNot(reloading.getContext(), first)
