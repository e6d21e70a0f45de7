// Package auditor writes and searches the audit trail of operators' commands.
package auditor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Errors of the audit trail. Callers test for them with errors.Is.
var (
	// ErrNotRecorded means that a record could not be written. The command must not be executed.
	ErrNotRecorded = errors.New("audit record could not be written")
	// ErrDamagedSegment means that a document under Audit/ is damaged.
	ErrDamagedSegment = errors.New("audit segment is damaged")
)

// Result is the stage or outcome of a command that a record states.
type Result string

// The results of a command.
const (
	// Begun is recorded before a command is executed. If no later record has the same ID, the
	// outcome of the command was not recorded.
	Begun Result = "Begun"
	// Accepted means that the command has taken effect.
	Accepted Result = "Accepted"
	// Refused means that the command has had no effect.
	Refused Result = "Refused"
	// Undetermined means that the command may have taken effect.
	Undetermined Result = "Undetermined"
)

// Record is an entry of the audit trail.
type Record struct {
	// ID is common to the records of one command.
	ID   string
	Time time.Time
	// Who is the common name in the operator's certificate.
	Who  string
	Role string
	From netip.Addr
	// Action is a verb with its object, in Pascal case, such as PutConfiguration.
	Action string
	// Subject names the object of the action, such as a day or a job.
	Subject string
	// Before and After are the revisions of the subject, zero if it has none.
	Before, After int64
	Result        Result
	// Reason is the operator's reason, or why the command was refused.
	Reason string
}

// maxTextBytes bounds each text of a record, so that a segment can hold at least 100 records.
const maxTextBytes = 1024

func (rc Record) truncated() Record {
	for _, text := range []*string{&rc.ID, &rc.Who, &rc.Role, &rc.Action, &rc.Subject, &rc.Reason} {
		*text = truncate(*text)
	}
	rc.Time = rc.Time.UTC()
	return rc
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

// segment is the document at the key Audit/DAY/HOST/NUMBER. It is never changed after its creation.
type segment struct {
	Host modeler.HostName
	// Boot and Operation make the document unique, so that reading it back after a lost answer
	// shows whether this write took effect.
	Boot      modeler.BootID
	Operation int64
	Records   []json.RawMessage
}

const (
	trailPrefix = "Audit/"
	dayLayout   = "2006-01-02"
)

func dayPrefix(day string) string { return trailPrefix + day + "/" }

func hostPrefix(day string, host modeler.HostName) string {
	return dayPrefix(day) + string(host) + "/"
}

func segmentKey(day string, host modeler.HostName, number int64) string {
	return fmt.Sprintf("%s%010d", hostPrefix(day, host), number)
}

func decodeSegment(ent storer.Entry) ([]Record, error) {
	var sg segment
	if err := json.Unmarshal(ent.Value, &sg); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamagedSegment, ent.Key, err)
	}
	rcs := make([]Record, 0, len(sg.Records))
	for _, raw := range sg.Records {
		var rc Record
		if err := json.Unmarshal(raw, &rc); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrDamagedSegment, ent.Key, err)
		}
		rcs = append(rcs, rc)
	}
	return rcs, nil
}
