package logger

// Events of leaders that have requests to workers carried out by other hosts, and of defects that were survived.
var (
	RelaysChosen        = Event{690, "relays chosen", "The leader has requests to its Workers carried out by these hosts from now on, or sends all itself if there are none. Weight is its own processor share in thousandths of a core, Hosts the number of hosts in contact.", SeverityInfo}
	RelayPaused         = Event{691, "relay paused", "An exchange with the relay failed. Requests that were Pending count as not answered. The workers get theirs by other relays or from the leader until the Pause is over.", SeverityWarning}
	RelayRefused        = Event{692, "relayed requests refused", "This host did not carry out the requests of a batch. Error says why.", SeverityWarning}
	RelaySessionBegun   = Event{693, "relay session begun", "This host carries out requests to workers for the leader.", SeverityInfo}
	RelayMessageInvalid = Event{694, "message between leader and relay invalid", "The message, or one request in it, has values out of bounds and was not carried out.", SeverityError}
	TermPanicked        = Event{695, "leader panicked", "A defect of this software, shown by Cause and Stack. The host gives leadership up and runs on. Report it with the lines before it.", SeverityError}
	RelayPanicked       = Event{696, "relay panicked", "A defect of this software, shown by Cause and Stack. The request or exchange counts as not answered, and the host runs on. Report it with the lines before it.", SeverityError}
)

var relayEvents = []Event{
	RelaysChosen, RelayPaused, RelayRefused, RelaySessionBegun, RelayMessageInvalid, TermPanicked, RelayPanicked,
}
