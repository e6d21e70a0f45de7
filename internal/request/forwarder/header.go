package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), or are handled by net/http on
// each connection.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// ownPrefix marks the headers between callers, entry hosts and runners. They are never passed
// through, so that neither a caller nor a runner can forge them.
const ownPrefix = "Currant-"

// passOn copies the end-to-end headers.
func passOn(dst, src http.Header) {
	named := connectionHeaders(src)
	for key, vals := range src {
		if named[key] || strings.HasPrefix(key, ownPrefix) || key == modeler.HeaderIdempotencyKey {
			continue
		}
		dst[key] = vals
	}
	for _, key := range hopHeaders {
		delete(dst, key)
	}
}

// connectionHeaders lists the headers that the header Connection names; nil when there are none.
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
