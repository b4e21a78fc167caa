package settings

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds that more than one rule uses.
const (
	// maxTargetConnections is what a worker accepts from all VMs together.
	maxTargetConnections = 64
	// maxStoreValue is the largest value that the platform's store keeps.
	maxStoreValue = 1 << 20
	// minTokenLength keeps a peer token from being guessed.
	minTokenLength = 16
)

// Table returns the keys in the order of the reference page.
func Table() []Key {
	return concat(vmKeys(), platformKeys(), peerKeys(), clusterKeys(), jobKeys(), targetKeys(), otherKeys())
}

func concat(groups ...[]Key) []Key {
	var all []Key
	for _, g := range groups {
		all = append(all, g...)
	}
	return all
}

func vmKeys() []Key {
	return []Key{
		patternKey("vm.id", "name", namePattern, "1 to 63 letters, digits, dots, hyphens or underscores",
			"Name of this VM, unique among all VMs.", func(s *Settings) *string { return &s.VM.ID }).required(),
		patternKey("vm.failure_domain", "failure domain", domainPattern, "region/name in lower-case letters, digits and hyphens",
			"Failure domain in which this VM runs.", func(s *Settings) *string { return &s.VM.FailureDomain }).required(),
		addressKey("vm.listen", "Address at which callers and operators reach this VM.",
			func(s *Settings) *string { return &s.VM.Listen }).required(),
		addressKey("vm.peer_listen", "Address at which this VM listens for other VMs.",
			func(s *Settings) *string { return &s.VM.PeerListen }).required(),
		addressKey("vm.advertise", "Peer address that other VMs dial; the default is vm.peer_listen.",
			func(s *Settings) *string { return &s.VM.Advertise }),
	}
}

func platformKeys() []Key {
	return []Key{
		stringKey("platform.url", "URL", "", "http or https URL without credentials", "Base URL of the platform's store and VM list.",
			parseURL, func(s *Settings) *string { return &s.Platform.URL }).required(),
		durationKey("platform.timeout", "1s", 10*time.Millisecond, time.Minute, "Time after which a call to the platform counts as failed.",
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		durationKey("platform.lease_ttl", "3s", time.Second, time.Minute, "Time to live of this VM's lease in the store; a dead VM's shards are taken over after it.",
			func(s *Settings) *time.Duration { return &s.Platform.LeaseTTL }),
		countKey("platform.store_writes_per_second", "300", "1/s", 1_000_000, "Writes that the store serves for all VMs together.",
			func(s *Settings) *int { return &s.Platform.StoreWritesPerSecond }),
		countKey("platform.store_reads_per_second", "2000", "1/s", 1_000_000, "Reads that the store serves for all VMs together.",
			func(s *Settings) *int { return &s.Platform.StoreReadsPerSecond }),
		durationKey("platform.vm_list_interval", "1s", 100*time.Millisecond, time.Minute, "Interval between two reads of the VM list.",
			func(s *Settings) *time.Duration { return &s.Platform.VMListInterval }),
	}
}

func peerKeys() []Key {
	return []Key{
		{
			Name: "peers.seeds", Type: "list of addresses", Allowed: "list of host:port with an IP address as host", list: true,
			Help: "Peer addresses to try before the VM list has been read.", set: addSeed,
		},
		{
			Name: "peers.token", Type: "secret", Allowed: "at least 16 characters",
			Help: "Token that all VMs share; peers.token_file keeps it out of the settings.", set: setToken,
		},
		fileKey("peers.token_file", "File that holds the shared peer token; white space around it is ignored.",
			func(s *Settings) *string { return &s.Peers.TokenFile }),
		sizeKey("peers.max_frame", "1MiB", 64<<10, maxStoreValue, "Largest frame between two VMs.",
			func(s *Settings) *int64 { return &s.Peers.MaxFrame }),
		countKey("peers.requests_per_second", "5000", "1/s", 1_000_000, "Requests that this VM serves for one peer.",
			func(s *Settings) *int { return &s.Peers.RequestsPerSecond }),
	}
}

func addSeed(s *Settings, text string) error {
	address, err := parseAddress(text)
	if err == nil {
		s.Peers.Seeds = append(s.Peers.Seeds, address)
	}
	return err
}

func setToken(s *Settings, text string) error {
	if len(text) < minTokenLength {
		return errors.New("the token is too short")
	}
	s.Peers.Token = NewSecret(text)
	return nil
}

func clusterKeys() []Key {
	return []Key{
		countKey("cluster.partitions", "16", "partitions", 1024, "Number of job partitions; equal on all VMs and fixed once jobs exist.",
			func(s *Settings) *int { return &s.Cluster.Partitions }),
		countKey("cluster.max_vms", "9", "VMs", 1024, "Largest number of VMs that run the daemon.",
			func(s *Settings) *int { return &s.Cluster.MaxVMs }),
		// A member is suspect after 2 s without progress, so an interval above
		// 1 s would make one lost heartbeat look like a failure.
		durationKey("cluster.heartbeat_interval", "500ms", 50*time.Millisecond, time.Second, "Interval between two rounds of heartbeats.",
			func(s *Settings) *time.Duration { return &s.Cluster.HeartbeatInterval }),
		countKey("cluster.fanout", "3", "peers", 16, "Peers to which one round of heartbeats goes.",
			func(s *Settings) *int { return &s.Cluster.Fanout }),
	}
}

func jobKeys() []Key {
	return []Key{
		durationKey("jobs.result_retention", "24h", time.Minute, 30*24*time.Hour, "Time for which the result of an ended job is kept.",
			func(s *Settings) *time.Duration { return &s.Jobs.ResultRetention }),
		sizeKey("jobs.result_max", "256KiB", 1<<10, 768<<10, "Largest result of one job.",
			func(s *Settings) *int64 { return &s.Jobs.ResultMax }),
		sizeKey("jobs.max_body", "1MiB", 1<<10, 1<<20, "Largest body of a caller's request.",
			func(s *Settings) *int64 { return &s.Jobs.MaxBody }),
		durationKey("jobs.max_wait", "60s", time.Second, 10*time.Minute, "Longest time for which a call waits for a job.",
			func(s *Settings) *time.Duration { return &s.Jobs.MaxWait }),
	}
}

func targetKeys() []Key {
	return []Key{
		durationKey("targets.lease_ttl", "15s", time.Second, 10*time.Minute, "Lease of a task at its worker; a lost task is retried after it.",
			func(s *Settings) *time.Duration { return &s.Targets.LeaseTTL }),
		countKey("targets.connections_per_vm", "7", "connections", maxTargetConnections, "Connections that this VM opens to one worker.",
			func(s *Settings) *int { return &s.Targets.ConnectionsPerVM }),
		durationKey("targets.start_timeout", "5s", 100*time.Millisecond, time.Minute, "Time after which a reserve or start call to a worker counts as failed.",
			func(s *Settings) *time.Duration { return &s.Targets.StartTimeout }),
	}
}

func otherKeys() []Key {
	return []Key{
		fileKey("policy.bootstrap", "First configuration document, written to the store only if the store holds none.",
			func(s *Settings) *string { return &s.Policy.Bootstrap }),
		choiceKey("log.level", "info", []string{"error", "info", "debug", "trace"}, "Least severe level that is logged.",
			func(s *Settings) *string { return &s.Log.Level }),
		choiceKey("log.format", "json", []string{"json", "console"}, "Form of the log lines.",
			func(s *Settings) *string { return &s.Log.Format }),
		fileKey("tls.certificate", "PEM certificate chain of the listeners; without it they speak plain HTTP.",
			func(s *Settings) *string { return &s.TLS.Certificate }),
		fileKey("tls.key", "PEM private key of tls.certificate.", func(s *Settings) *string { return &s.TLS.Key }),
		fileKey("tls.client_ca", "PEM certificates that sign the client certificates of peers.",
			func(s *Settings) *string { return &s.TLS.ClientCA }),
		durationKey("drain.timeout", "30s", time.Second, 10*time.Minute, "Time that a graceful shutdown waits for open calls.",
			func(s *Settings) *time.Duration { return &s.Drain.Timeout }),
		sizeKey("limits.memory", "", 32<<20, 1<<40, "Memory from which the limits of clients are derived: an eighth for request bodies in flight, a quarter for callers' connections. Without it, the least of the machine's memory, the container's limit and GOMEMLIMIT.",
			func(s *Settings) *int64 { return &s.Limits.Memory }),
		countKey("limits.max_fds", "", "descriptors", 1<<20, "Descriptors of which callers' connections take at most a half and other VMs before their handshake an eighth. Without it, the limit of the process.",
			func(s *Settings) *int { return &s.Limits.MaxOpen }),
	}
}
