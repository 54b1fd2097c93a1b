"""Guards against two sets of relays whose floors are valid at the same time.

Nodes could then apply a version that the other set does not cover.
"""

import random

from shallotwharf.components.delivery import claims, exchange, group


def start(names):
    return {
        name: group.Group(name, random.Random(name)) for name in sorted(names)
    }


def exchange_states(groups, pairs, rounds=6):
    for now in range(rounds):
        for sender, receiver in pairs:
            if receiver in groups[sender].list_peers():
                groups[receiver].receive(
                    sender, groups[sender].make_state(receiver, 0, False), now
                )


def join(names, *lost):
    return [
        (left, right)
        for left in names
        for right in names
        if left != right and (left, right) not in lost
    ]


def change(groups, names):
    for name in names:
        groups[name].change_names(tuple(names), 0)


def start_with_floor():
    groups = start('abcdx')
    change(groups, 'abc')
    exchange_states(groups, join('abc'))
    groups['a'].accept_floor(1)
    exchange_states(groups, join('abc'))
    assert all(groups[name].floor_valid for name in 'abc')
    return groups


def test_two_of_three_take_over():
    groups = start_with_floor()
    groups['c'].raise_floor(2)
    change(groups, 'bcd')
    exchange_states(groups, join('bcd'))
    assert {groups[name].floor for name in 'bcd'} == {2}
    assert all(groups[name].floor_valid for name in 'bcd')


def test_one_of_three_does_not_take_over():
    groups = start_with_floor()
    change(groups, 'cdx')
    exchange_states(groups, join('cdx'))
    assert groups['c'].epoch
    assert not any(groups[name].floor_valid for name in 'cdx')


def test_restarted_relay_gets_the_floor_of_the_others():
    groups = start_with_floor()
    groups['a'].raise_floor(2)
    exchange_states(groups, join('abc'))
    groups['b'] = group.Group('b', random.Random('new'))
    change(groups, 'abc')
    exchange_states(groups, join('abc'))
    assert groups['b'].floor_valid
    assert groups['b'].floor == 2


def test_floor_is_offered_to_one_set_only():
    groups = start_with_floor()
    change(groups, 'bcd')
    # B offers its floor to the new set, but does not receive the states in
    # which C and D have taken it over. They let nodes apply version 2.
    exchange_states(groups, join('bcd'), rounds=2)
    while not groups['b'].epoch:
        exchange_states(groups, join('bcd'), rounds=1)
    exchange_states(groups, join('bcd', ('c', 'b'), ('d', 'b')))
    assert groups['c'].floor_valid
    groups['c'].raise_floor(2)
    groups['b'].floor_valid = False
    change(groups, 'abx')
    exchange_states(groups, join('abx'))
    assert groups['a'].epoch
    assert not any(groups[name].floor_valid for name in 'abx')


def test_late_state_of_an_earlier_process_is_ignored():
    groups = start_with_floor()
    late = groups['a'].make_state('b', 0, False)
    groups['a'] = group.Group('a', random.Random('new'))
    change(groups, 'abc')
    exchange_states(groups, join('abc'))
    epoch = groups['b'].epoch
    groups['b'].receive('a', late, 9)
    assert groups['b'].epoch == epoch
    assert groups['b'].floor_valid


def test_claims_of_two_epochs_do_not_add_up():
    held = claims.Claims()
    held.receive('a', exchange.RelayHolds(2, 2, b'1', 3, 1))
    held.receive('b', exchange.RelayHolds(2, 2, b'2', 3, 1))
    assert not held.is_held(2)
    held.receive('c', exchange.RelayHolds(3, 2, b'2', 3, 1))
    assert held.is_held(2)
    assert not held.is_held(3)
