// Package settings holds the daemon's settings: one table of keys from which
// parsing, checks, defaults and the reference page are made. Settings are read
// once, when the daemon starts.
package settings

import "time"

// Settings are the checked settings of one daemon. Sizes are in bytes.
type Settings struct {
	VM       VM
	Platform Platform
	Peers    Peers
	Cluster  Cluster
	Jobs     Jobs
	Targets  Targets
	Policy   Policy
	Log      Log
	TLS      TLS
	Drain    Drain
	Limits   Limits
}

// VM says who this VM is and where it listens. Addresses are host:port.
type VM struct {
	ID            string
	FailureDomain string // region/name
	Listen        string
	PeerListen    string
	// Advertise is the peer address that other VMs dial. With port 0 the daemon
	// replaces the port by the one that the kernel chose.
	Advertise string
}

// Platform says how to reach the store and the VM list, and at which rates.
type Platform struct {
	URL                  string
	Timeout              time.Duration
	LeaseTTL             time.Duration
	StoreWritesPerSecond int
	StoreReadsPerSecond  int
	VMListInterval       time.Duration
}

// Peers says how VMs reach and authenticate each other.
type Peers struct {
	Seeds []string
	// Token is the shared peer token, also when it was read from TokenFile.
	Token             Secret
	TokenFile         string
	MaxFrame          int64
	RequestsPerSecond int
}

// Cluster holds what all VMs must set alike.
type Cluster struct {
	Partitions        int
	MaxVMs            int
	HeartbeatInterval time.Duration
	Fanout            int
}

// Jobs bounds what callers may ask for and what is kept for them.
type Jobs struct {
	ResultRetention time.Duration
	ResultMax       int64
	MaxBody         int64
	MaxWait         time.Duration
}

// Targets says how the workers are called.
type Targets struct {
	LeaseTTL         time.Duration
	ConnectionsPerVM int
	StartTimeout     time.Duration
}

// Policy names the first configuration document.
type Policy struct {
	// Bootstrap is a file that is written to the store only if the store holds
	// no configuration document.
	Bootstrap string
}

// Log says what is logged and how.
type Log struct {
	Level  string
	Format string
}

// TLS names the PEM files of the listeners and of the peers.
type TLS struct {
	Certificate string
	Key         string
	ClientCA    string
}

// Drain bounds a graceful shutdown.
type Drain struct {
	Timeout time.Duration
}

// Limits say what the machine has, from which the limits of clients are derived. Zero means
// what the process finds.
type Limits struct {
	Memory  int64
	MaxOpen int // descriptors
}
