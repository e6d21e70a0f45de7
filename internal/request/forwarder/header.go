package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1), or are handled by net/http on
// each connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// internalPrefix is the prefix of the headers between callers, entry hosts and runners. They are never
// copied, so that neither a caller nor a runner can forge them.
const internalPrefix = "Currant-"

// copyEndToEnd copies the end-to-end headers.
func copyEndToEnd(dst, src http.Header) {
	named := connectionHeaders(src)
	for key, vals := range src {
		if named[key] || strings.HasPrefix(key, internalPrefix) || key == modeler.HeaderIdempotencyKey {
			continue
		}
		dst[key] = vals
	}
	for _, key := range hopByHopHeaders {
		delete(dst, key)
	}
}

// connectionHeaders returns the headers that the header Connection lists, or nil when there are none.
func connectionHeaders(src http.Header) map[string]bool {
	vals := src["Connection"]
	if len(vals) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, val := range vals {
		for _, key := range strings.Split(val, ",") {
			named[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(key))] = true
		}
	}
	return named
}
