"""A feed that is behind its peers for too long is read anew."""

from lentilbeam_core.forwarding import feed_lag


def test_being_behind_for_a_moment_is_no_alarm():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(5)
    lag.note_peer_position(6, 10.0)
    assert not lag.check_reread_due(10.2)
    lag.note_own_position(6)
    assert not lag.check_reread_due(11.0)


def test_a_feed_that_stays_behind_raises_an_alarm_once_for_each_patience():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(5)
    lag.note_peer_position(6, 10.0)
    lag.note_peer_position(7, 10.2)
    assert lag.check_reread_due(10.3)
    assert not lag.check_reread_due(10.4)
    assert lag.check_reread_due(10.7)


def test_being_ahead_of_peers_is_no_alarm():
    lag = feed_lag.FeedLag(0.3)
    lag.note_own_position(9)
    lag.note_peer_position(6, 10.0)
    assert not lag.check_reread_due(20.0)
