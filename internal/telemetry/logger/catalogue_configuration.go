package logger

// QueuesOutdated is an event of the queue configuration.
var QueuesOutdated = Event{780, "queue configuration outdated", "A peer reported a higher revision longer than 1 s ago, and it is not in force at this host. The failures in a row of the watch of the store and of requests to peers, with the last error of each, say what it waits for. Logged once a second.", SeverityWarning}

var configurationEvents = []Event{QueuesOutdated}
