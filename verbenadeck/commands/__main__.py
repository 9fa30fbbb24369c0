"""Entry point of `python -m verbenadeck.commands`."""

from verbenadeck.commands import run

if __name__ == '__main__':
    run()
