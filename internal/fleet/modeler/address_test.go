package modeler

import (
	"errors"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against addresses of no host that are called again and again, and against usable ones that
// are refused.
func TestCheckAddress(t *testing.T) {
	for _, text := range []string{"10.0.0.7:1", "127.0.0.1:65535", "169.254.1.1:80", "[::1]:80", "[2001:db8::1]:80", "[::ffff:10.0.0.1]:80"} {
		qt.Check(t, CheckAddress(netip.MustParseAddrPort(text)), qt.IsNil, qt.Commentf("%s", text))
	}
	for _, text := range []string{
		"10.0.0.7:0", "0.0.0.0:80", "0.1.2.3:80", "[::]:80", "[::ffff:0.0.0.0]:80", "224.0.0.1:80", "[ff02::1]:80", "[::ffff:224.0.0.1]:80",
		"255.255.255.255:80", "240.0.0.1:80", "[fe80::1]:80", "[fe80::1%eth0]:80", "[2001:db8::1%eth0]:80",
	} {
		err := CheckAddress(netip.MustParseAddrPort(text))
		qt.Check(t, errors.Is(err, ErrUnusableAddress), qt.IsTrue, qt.Commentf("%s: %v", text, err))
	}
	qt.Check(t, errors.Is(CheckAddress(netip.AddrPort{}), ErrUnusableAddress), qt.IsTrue)
}
