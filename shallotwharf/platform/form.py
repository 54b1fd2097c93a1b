"""The form of an operator's configuration, as the users' pages state it.

Keys that the pages do not name are allowed: a later page may add some.
"""

import typing

from shallotwharf.components.tables import const as tables_const
from shallotwharf.core import clock
from shallotwharf.platform import forms

MAX_TIMEOUT_S: typing.Final = tables_const.MAX_TIMEOUT_MS / clock.SECOND_MS
# Attempts above this bound are a mistake of the operator, not a limit.
MAX_ATTEMPTS: typing.Final = 1000

_TEXT: typing.Final = forms.Text()
_COUNT: typing.Final = forms.Figure(is_whole=True)
_AMOUNT: typing.Final = forms.Figure()
_REGIONS: typing.Final = forms.Rows(_TEXT)

_LIMITS: typing.Final = forms.Object(
    {},
    strict={
        'maxHeaderBytes': _COUNT,
        'maxBodyBytes': _COUNT,
        'headerTimeoutS': _AMOUNT,
        'idleTimeoutS': _AMOUNT,
    },
)
_PART: typing.Final = forms.Object(
    {
        'service': _TEXT,
        'weight': forms.Figure(high=tables_const.MAX_SHARE, is_whole=True),
    },
)
_ACTION: typing.Final = forms.Object(
    {
        'timeoutS': forms.Figure(high=MAX_TIMEOUT_S, above=0),
        'maxAttempts': forms.Figure(1, MAX_ATTEMPTS, is_whole=True),
    },
    {
        'service': _TEXT,
        'weightedServices': forms.Rows(_PART, 1),
        'allowedRegions': _REGIONS,
    },
)
_RULE: typing.Final = forms.Object(
    {
        'name': _TEXT,
        'routeType': forms.Choice('idempotent', 'non_idempotent', 'download'),
        'aimS': _AMOUNT,
        'priority': _COUNT,
        'match': forms.Object({'pathPrefix': _TEXT}),
        'action': _ACTION,
    },
    {'public': forms.Flag()},
)
_LISTENER: typing.Final = forms.Object(
    {'host': _TEXT, 'rules': forms.Rows(_RULE)},
)
_CLUSTER: typing.Final = forms.Object(
    {'name': _TEXT},
    {'coldStartS': _AMOUNT, 'coldPerS': _AMOUNT},
    {
        'healthPath': _TEXT,
        'maxConnections': _COUNT,
        'protocol': _TEXT,
        'tls': forms.Flag(),
    },
)
_TENANT: typing.Final = forms.Object(
    {'name': _TEXT, 'apiKeys': forms.Rows(_TEXT)},
    {
        'priority': _COUNT,
        'ratePerS': _AMOUNT,
        'burst': _AMOUNT,
        'allowedRegions': _REGIONS,
    },
)
CONFIGURATION: typing.Final = forms.Object(
    {
        'version': _TEXT,
        # The first configuration may have the integer 0.
        'baseVersion': forms.Either(0, _TEXT),
        'limits': _LIMITS,
        'listeners': forms.Rows(_LISTENER),
        'clusters': forms.Rows(_CLUSTER),
    },
    {'tenants': forms.Rows(_TENANT)},
)
