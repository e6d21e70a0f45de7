// Package relayer has requests to workers carried out by other entry hosts, the relays. It is made for
// leaders of fleets in which one connection and one call for each request cost more processor time than the
// leader has. The leader goes on to decide everything: a relay sends what it is told, at most once, and reports
// the worker's answer. It holds no lease and no state that a leader needs.
//
// A leader and a relay exchange batches, one at a time. What is lost with a batch, with a relay, or between
// the two counts as a request without an answer, as if the worker had not answered. Requests carry the leader's
// fencing token and deadlines of the worker's clock, so that one that is carried out late has no other effect than one
// that was delayed on its way to the worker.
package relayer

import (
	"errors"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// exchangeInterval is the least time between the beginnings of two exchanges with a relay, and the time for
	// which a relay waits for a first answer.
	exchangeInterval = 20 * time.Millisecond
	// exchangeTimeout bounds an exchange. It exceeds the timeout of a start, so that a leader or a relay that is short
	// of processor time for a moment does not lose a whole batch.
	exchangeTimeout = 800 * time.Millisecond
	// maxBatchRequests bounds the requests of an exchange.
	maxBatchRequests = 512
	// MaxBatchBytes bounds the message of an exchange. The peers' listener of the smallest host takes no larger body.
	MaxBatchBytes = 1 << 20
	// maxSessionRequests bounds the requests of a session without an answer, and so the memory of a relay.
	maxSessionRequests = 8192
	// maxAnswersBytes is the approximate size of the answers of an exchange. The others wait for the next.
	maxAnswersBytes = 1 << 20
	// maxRequestAge is how long after its arrival a relay still sends a request, and by how much a batch may arrive
	// later than the one with the least delay. Both count the time for which a machine was suspended.
	maxRequestAge = 500 * time.Millisecond
	// answerMargin is the part of a request's timeout that is left for its answer to reach the leader.
	answerMargin = 3 * exchangeInterval
	// sessionTimeout is the time without an exchange after which a relay gives a session's requests up.
	sessionTimeout = 3 * time.Second
)

// Errors of an exchange. Callers test for them with errors.Is.
var (
	// ErrInvalidMessage means that a message of another host has values out of bounds.
	ErrInvalidMessage = errors.New("invalid message")
	// ErrDeposed means that the relay knows a later epoch than that of the request.
	ErrDeposed = errors.New("relay knows a later epoch")
	// ErrUnknownSession means that the relay has not seen the first exchange of a session, or has seen this one.
	ErrUnknownSession = errors.New("exchange is not the next one of its session")
	// ErrLate means that a batch or a request was held up for longer than maxRequestAge.
	ErrLate = errors.New("held up for too long")
	// ErrOverloaded means that the relay has too many requests without an answer.
	ErrOverloaded = errors.New("relay has too many requests")
)

// errorNames are the names of the errors of requests to workers in messages. An unknown name stands for
// modeler.ErrNoAnswer.
var errorNames = []struct {
	name string
	err  error
}{
	{"NoAnswer", modeler.ErrNoAnswer},
	{"NotSent", modeler.ErrNotSent},
	{"StaleFence", modeler.ErrStaleFence},
	{"StaleRun", modeler.ErrStaleRun},
	{"DeadlinePassed", modeler.ErrDeadlinePassed},
	{"NoCapacity", modeler.ErrNoCapacity},
	{"PermitRefused", modeler.ErrPermitRefused},
	{"OtherIncarnation", modeler.ErrOtherIncarnation},
	{"Unhealthy", modeler.ErrUnhealthy},
	{"Refused", modeler.ErrRefused},
}

// nameOf returns the name of an error, empty for none.
func nameOf(err error) string {
	if err == nil {
		return ""
	}
	for _, en := range errorNames {
		if errors.Is(err, en.err) {
			return en.name
		}
	}
	return errorNames[0].name
}

// errorOf returns the error with the name.
func errorOf(name string) error {
	for _, en := range errorNames {
		if en.name == name {
			return en.err
		}
	}
	return modeler.ErrNoAnswer
}
