"""Settings documents for tests."""

import json
from typing import Any


def settings_tree(**changed: Any) -> dict[str, Any]:
    """Return valid settings as parsed JSON, with changed members."""
    raw: dict[str, Any] = {
        'node_id': 'suva-catalogue-1',
        'zone': 'suva',
        'region': 'viti-levu',
        'service': 'catalogue',
        'log': {'url': 'http://127.0.0.1:7300'},
    }
    return raw | changed


def settings_text(**changed: Any) -> str:
    """Return valid settings as JSON text, with one member per line."""
    return json.dumps(settings_tree(**changed), indent=1)
