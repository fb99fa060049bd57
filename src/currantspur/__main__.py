"""Entry point of ``python -m currantspur``."""

from currantspur.cli import main

if __name__ == '__main__':
    main()
