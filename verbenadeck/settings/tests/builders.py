"""Settings documents for tests."""

import json
from typing import Any


def settings_tree(**changed: Any) -> dict[str, Any]:
    """Return the parsed JSON of valid settings, with changed members."""
    tree: dict[str, Any] = {
        'node_id': 'suva-catalogue-1',
        'zone': 'suva',
        'region': 'viti-levu',
        'service': 'catalogue',
        'log': {'url': 'http://127.0.0.1:7300'},
    }
    return tree | changed


def settings_text(**changed: Any) -> str:
    """Return the text of valid settings, one member a line."""
    return json.dumps(settings_tree(**changed), indent=1)
