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

// Options configures one server's membership.
type Options struct {
	Name            string   // unique in the fleet, and the same after a restart
	Zone            string   // "" for none
	Listen          string   // IP address and port for packets and streams; also the source address of outgoing ones
	Advertise       string   // IP address and port at which peers reach this server; "" for Listen
	FleetName       string   // packets of fleets with another name are ignored; "" for none
	Seeds           []string // addresses to join at the start and while no reachable peer has them
	ExpectedServers int      // size of the fleet; 0 if unknown
	EncryptionKey   []byte   // AES key of 16, 24 or 32 bytes that encrypts all traffic; nil for no encryption
	Version         string   // of the program
	SettingsHash    string   // hash of the operator's record

	// Phase returns the server's lifecycle phase and its warm-up progress from 0 to 1. It must not block. If it is nil, the server counts as
	// warm.
	Phase func() (Phase, float64)
	Log   *logrus.Entry

	healthConfig  health.Config                 // zero value for the defaults
	openTransport func() (baseTransport, error) // nil for sockets
}

const (
	tickInterval = 100 * time.Millisecond // a tenth of the shortest stall to detect
	// joinInterval is the time between two rounds of joining silent peers, with a jitter of up to a quarter in each direction.
	joinInterval       = time.Second
	maxConcurrentJoins = 2
	streamTimeout      = time.Second // limits a dial, and a complete state exchange
	announceInterval   = time.Second // between two announcements of this server's record if it does not change sooner
	// announceScale is the number of servers per announceInterval. In larger fleets each server announces itself less often, so that the load
	// of forwarding the announcements stays constant.
	announceScale = 16
	// healthCheckInterval and healthCheckTimeout are the interval and timeout of memberlist's probes. Responses take less than 10 ms on loopback
	// and within a zone, and up to 100 ms between zones. Delays of 300 ms are tolerated by memberlist's local health multiplier, which lengthens
	// the probes after each missed response, and by indirect probes through other servers; see SWIM (Das et al., 2002) and Lifeguard (Dadgar et
	// al., 2017).
	healthCheckInterval = 500 * time.Millisecond
	healthCheckTimeout  = 300 * time.Millisecond
	// suspicionMult times the check interval is the minimum time that a suspected server has to refute the suspicion: 2 s in fleets of up to ten
	// servers. Unless other servers confirm the suspicion, the time is longer by a factor of suspicionMaxTimeoutMult.
	suspicionMult           = 4
	suspicionMaxTimeoutMult = 3
	// retransmitMult times the number of digits of the fleet's size is the number of times that each server forwards a record. With three peers
	// per round, a record reaches 8 servers in three rounds with a probability of 0.999 if no packets are lost. Later announcements make up for
	// the remaining cases.
	retransmitMult = 2
	leaveTimeout   = 300 * time.Millisecond // well below the time that the platform allows for a stop
	// newcomerPeriod starts at the first contact with a peer. A server that finds its name in use by another process within this period gives
	// up the name.
	newcomerPeriod    = 10 * time.Second
	maxStateBytes     = 4 << 20 // size of the records in one state exchange: five times that of 4,096 origins with the usual 200 bytes each
	maxDuplicateNames = 16      // number of conflicts in the status
	maxNameBytes      = 64
	nameReclaimTime   = time.Second // after which a name may be reused at another address
)

// withDefaults returns the options with defaults for those that are not set.
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
	o.Seeds = slices.Clone(o.Seeds) // the caller may modify its slice while the fleet joins seeds
	return o
}

// ErrKeySize is returned for an encryption key whose length is not valid for AES.
var ErrKeySize = errors.New("key must have 16, 24 or 32 bytes")

// ValidateKey returns ErrKeySize if key is not a valid encryption key.
func ValidateKey(key []byte) error {
	if memberlist.ValidateKey(key) != nil {
		return ErrKeySize
	}
	return nil
}

// errInvalidName is returned for a server name that is empty, too long or not printable.
var errInvalidName = fmt.Errorf("invalid server name, want 1 to %d printable bytes", maxNameBytes)

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && sanitize(s) == s && utf8.ValidString(s)
}

// sanitize replaces the control characters in text from the network, so that the text fits on one line of the log or the status.
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
		return "", 0, fmt.Errorf("invalid address %q, want an IP address and a port", addr)
	}
	return host, int(number), nil
}
