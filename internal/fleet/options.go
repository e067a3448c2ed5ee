package fleet

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
)

// Options configure one server's membership.
type Options struct {
	Name            string   // unique in the fleet, and the same after a restart
	Zone            string   // "" for none
	Listen          string   // IP and port for packets and streams; outgoing ones leave from this IP
	Advertise       string   // IP and port where peers reach this server; "" for Listen
	FleetName       string   // packets of a fleet with another name are ignored; "" for none
	Seeds           []string // addresses that are joined at the start and for as long as nobody reachable has them
	ExpectedServers int      // size of the fleet; 0 for unknown
	EncryptionKey   []byte   // 16, 24 or 32 bytes (AES) encrypt all traffic; nil for none
	Version         string   // of the program
	SettingsHash    string   // hash of the operator's record

	// Phase returns the server's lifecycle phase and its warm-up progress from 0 to 1; nil for warm. It must not block.
	Phase func() (Phase, float64)
	Log   *logrus.Entry

	healthConfig  health.Config                 // zero value for the defaults
	openTransport func() (baseTransport, error) // nil for sockets
}

const (
	tickInterval = 100 * time.Millisecond // a tenth of the shortest stall that is to be detected
	// joinInterval is the time between two rounds of joining silent peers; it is jittered by a quarter.
	joinInterval       = time.Second
	maxConcurrentJoins = 2
	streamTimeout      = time.Second // for a dial, and for a complete exchange of states
	announceInterval   = time.Second // between two announcements of the own record if nothing in it changes sooner
	// announceScale is the roster size per announceInterval: in larger fleets announcements become rarer, so that the load of forwarding
	// them stays constant.
	announceScale = 16
	// healthCheckInterval and healthCheckTimeout: answers take under 10 ms on loopback and in one zone, up to 100 ms between zones. Delays of
	// 300 ms are covered by memberlist's local health multiplier (each missed answer stretches its checks) and by indirect checks through
	// others; see SWIM (Das et al., 2002) and Lifeguard (Dadgar et al., 2017).
	healthCheckInterval = 500 * time.Millisecond
	healthCheckTimeout  = 300 * time.Millisecond
	// suspicionMult times the check interval is how long a suspected server has to refute at least: 2 s up to ten servers. Unless others
	// confirm the suspicion, it is suspicionMaxTimeoutMult times that.
	suspicionMult           = 4
	suspicionMaxTimeoutMult = 3
	// retransmitMult times the digits of the fleet's size is how often each server forwards a record: with three peers a round, 8 servers are
	// reached in three rounds with a probability of 0.999 without loss; announcements repair the rest.
	retransmitMult = 2
	leaveTimeout   = 300 * time.Millisecond // well within the time that the platform allows for a stop
	// newcomerPeriod counts from the first contact: a server that meets its own name in use within it gives way.
	newcomerPeriod    = 10 * time.Second
	maxStateBytes     = 4 << 20 // of records in one state exchange: 4,096 origins at their usual 200 bytes, five times over
	maxDuplicateNames = 16      // reported in the status
	maxNameBytes      = 64
	nameReclaimTime   = time.Second // after which a name may come back under another address
)

// withDefaults fills in what the caller left out.
func (o Options) withDefaults() Options {
	if o.healthConfig == (health.Config{}) {
		o.healthConfig = health.DefaultConfig
	}
	o.healthConfig.ExpectedServers = o.ExpectedServers
	if o.Phase == nil {
		o.Phase = func() (Phase, float64) { return Warm, 1 }
	}
	if o.Advertise == "" {
		o.Advertise = o.Listen
	}
	o.Seeds = slices.Clone(o.Seeds) // the caller may reuse its slice while the fleet joins
	return o
}

// ErrKeySize reports an encryption key of a length that AES does not have.
var ErrKeySize = errors.New("16, 24 or 32 bytes expected")

// ValidateKey returns ErrKeySize if key can't be an encryption key.
func ValidateKey(key []byte) error {
	if memberlist.ValidateKey(key) != nil {
		return ErrKeySize
	}
	return nil
}

// errInvalidName reports a server name that is empty, too long or not printable.
var errInvalidName = fmt.Errorf("a name of 1 to %d printing bytes expected", maxNameBytes)

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && sanitize(s) == s && utf8.ValidString(s)
}

// sanitize replaces control characters in text from the network, so that it fits a line of the log or the status.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

// splitAddress parses an IP address and a port.
func splitAddress(addr string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q: an IP address and a port expected", addr)
	}
	return host, int(number), nil
}
