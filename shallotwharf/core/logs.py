"""Log lines of key=value pairs, one line an event."""

import sys

import logbook

_FORMAT = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} '
    'level={record.level_name} {record.message}'
)
_logger = logbook.Logger('shallotwharf')


def configure(level: str = 'INFO') -> None:
    """Send log lines of `level` and above to standard error.

    Raises:
        LookupError: if the level is not one of logbook's.
    """
    logbook.set_datetime_format('utc')
    logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(level),
        format_string=_FORMAT,
    ).push_application()


def write(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    _logger.info(format_pairs(event, fields))


def warn(event: str, **fields: object) -> None:
    """Log an event at level WARNING."""
    _logger.warning(format_pairs(event, fields))


def format_pairs(event: str, fields: dict[str, object]) -> str:
    """Return `event=... key=value ...`; values with spaces are quoted."""
    pairs = [f'event={event}']
    for name, field in fields.items():
        pairs.append(f'{name}={_format_value(field)}')
    return ' '.join(pairs)


def _format_value(field: object) -> str:
    text = str(field).replace('\n', r'\n').replace('"', "'")
    if ' ' in text or '=' in text or not text:
        return f'"{text}"'
    return text
