package modeler

// MaxNameBytes is the maximum length of a name in bytes. Heartbeats carry host and service names,
// so that long ones would raise the rate of messages between entry hosts.
const MaxNameBytes = 63

// ValidName reports whether a name has 1 to MaxNameBytes ASCII letters, digits, hyphens and
// underscores, and no other characters. Such a name can be used in keys of the store and before the
// "." of an idempotency key.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, ch := range name {
		switch {
		case ch >= 'a' && ch <= 'z', ch >= 'A' && ch <= 'Z', ch >= '0' && ch <= '9', ch == '-', ch == '_':
		default:
			return false
		}
	}
	return true
}
