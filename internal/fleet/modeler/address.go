package modeler

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrUnusableAddress means that no host can be called at an address.
var ErrUnusableAddress = errors.New("address of no host")

// reservedIPv4 holds the broadcast address and the addresses that were never assigned to hosts.
var reservedIPv4 = netip.MustParsePrefix("240.0.0.0/4")

// CheckAddress returns ErrUnusableAddress for an address at which no host can be called. Addresses
// with a zone hold on one host only and are refused.
func CheckAddress(address netip.AddrPort) error {
	addr := address.Addr().Unmap()
	switch {
	case !addr.IsValid() || address.Port() == 0 || addr.Zone() != "":
	case addr.IsUnspecified() || addr.IsMulticast() || reservedIPv4.Contains(addr):
	case addr.Is4() && addr.As4()[0] == 0 || addr.Is6() && addr.IsLinkLocalUnicast():
	default:
		return nil
	}
	return fmt.Errorf("%w: %s", ErrUnusableAddress, address)
}
