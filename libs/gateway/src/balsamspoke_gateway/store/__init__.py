"""Following of the platform's store by an entry process."""
