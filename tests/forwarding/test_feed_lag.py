"""A feed is due to be read again if it stays behind the peers for too long."""

from lentilbeam_core.forwarding import feed_lag


def test_short_lag_behind_peers_requires_no_reread():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(5)
    lag.note_peer_position(6, 10.0)
    assert not lag.check_reread_due(10.2)
    lag.note_own_position(6)
    assert not lag.check_reread_due(11.0)


def test_reread_is_due_once_per_maximum_lag():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(5)
    lag.note_peer_position(6, 10.0)
    lag.note_peer_position(7, 10.2)
    assert lag.check_reread_due(10.3)
    assert not lag.check_reread_due(10.4)
    assert lag.check_reread_due(10.7)


def test_feed_ahead_of_peers_requires_no_reread():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(9)
    lag.note_peer_position(6, 10.0)
    assert not lag.check_reread_due(20.0)
