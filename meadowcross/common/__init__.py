"""What every slice uses: small types, HTTP, settings, logging."""
