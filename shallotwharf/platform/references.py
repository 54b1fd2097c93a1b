"""Rules of a configuration that span several of its rows.

They take a configuration that has the form of `form.CONFIGURATION`.
"""

import itertools
import typing
from collections import abc

from shallotwharf.core import schema
from shallotwharf.platform import forms, sites

_Json: typing.TypeAlias = dict[str, typing.Any]
_RULES: typing.Final = 'rules'
_REGIONS: typing.Final = 'allowedRegions'
_PARTS: typing.Final = 'weightedServices'


def find_faults(config: _Json, known: sites.Sites) -> list[forms.Fault]:
    """Return the faults, each with the path of the row that causes it."""
    found = itertools.chain(
        _find_clusters(config['clusters']),
        _find_rules(config['listeners'], known),
        _find_tenants(config.get('tenants') or (), known),
    )
    return list(itertools.islice(found, schema.MAX_FAULTS))


class _Unique:
    """Values that may occur once, with a fault for each repetition."""

    __slots__ = ('_what', '_seen')

    def __init__(self, what: str) -> None:
        self._what = what
        self._seen: set[typing.Hashable] = set()

    def find_faults(
        self, given: typing.Hashable, path: forms.Path
    ) -> forms.Faults:
        """Return the fault of a repeated value."""
        if given not in self._seen:
            self._seen.add(given)
            return forms.NO_FAULTS
        return (forms.Fault(f'{self._what} occurs twice', path),)


def _find_clusters(rows: abc.Iterable[_Json]) -> abc.Iterator[forms.Fault]:
    names = _Unique('the name of a cluster')
    for position, row in enumerate(rows):
        yield from names.find_faults(
            row['name'], ('clusters', position, 'name')
        )


def _find_rules(
    listeners: abc.Iterable[_Json], known: sites.Sites
) -> abc.Iterator[forms.Fault]:
    # The case of a host has no meaning, and two listeners may have one host.
    names = _Unique('the name of a rule in a host')
    prefixes = _Unique('the path prefix of a rule in a host')
    for listed, listener in enumerate(listeners):
        host = listener['host'].lower()
        for position, rule in enumerate(listener[_RULES]):
            prefix = rule['match']['pathPrefix']
            path = ('listeners', listed, _RULES, position)
            yield from names.find_faults((host, rule['name']), (*path, 'name'))
            yield from prefixes.find_faults(
                (host, prefix), (*path, 'match', 'pathPrefix')
            )
            yield from _find_action(rule['action'], known, (*path, 'action'))


def _find_action(
    action: _Json, known: sites.Sites, path: forms.Path
) -> abc.Iterator[forms.Fault]:
    if action.get(_REGIONS):
        yield from _find_regions(action[_REGIONS], known, path)
    parts = action.get(_PARTS)
    if parts is None:
        if action.get('service') is None:
            yield forms.Fault('expected a service', path)
    elif not any(part['weight'] for part in parts):
        yield forms.Fault('all weights are 0', (*path, _PARTS))


def _find_tenants(
    tenants: abc.Iterable[_Json], known: sites.Sites
) -> abc.Iterator[forms.Fault]:
    names = _Unique('the name of a tenant')
    # A tenant may list a key twice, but no two tenants may have the same one.
    keys = _Unique('the key of another tenant')
    for position, row in enumerate(tenants):
        path = ('tenants', position)
        yield from names.find_faults(row['name'], (*path, 'name'))
        for key in dict.fromkeys(row['apiKeys']):
            yield from keys.find_faults(key, (*path, 'apiKeys'))
        yield from _find_regions(row.get(_REGIONS) or (), known, path)


def _find_regions(
    regions: abc.Iterable[str], known: sites.Sites, path: forms.Path
) -> abc.Iterator[forms.Fault]:
    for name in known.find_unknown(regions):
        yield forms.Fault(
            f'no data centre is in region {name!r:.40}', (*path, _REGIONS)
        )
