package settings

import (
	"net"
	"os"
	"strings"
)

// checkTogether checks what depends on more than one key. A rule is skipped
// when one of its keys was refused already.
func (p *parser) checkTogether() {
	p.checkAdvertise()
	p.checkConnections()
	p.checkKeepAlive()
	p.checkToken()
	p.checkTLS()
	p.checkFiles()
}

func (p *parser) anyInvalid(names ...string) bool {
	for _, n := range names {
		if p.invalid[n] {
			return true
		}
	}
	return false
}

// checkAdvertise refuses an address that other VMs cannot dial.
func (p *parser) checkAdvertise() {
	if p.anyInvalid("vm.advertise", "vm.peer_listen") {
		return
	}
	host, _, _ := net.SplitHostPort(p.settings.VM.Advertise)
	if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
		line := max(p.lines["vm.advertise"], p.lines["vm.peer_listen"])
		p.fault(line, "vm.advertise", "host:port with the IP address of this VM", "other VMs cannot dial %q", p.settings.VM.Advertise)
	}
}

// checkConnections keeps all VMs together within what one worker accepts.
func (p *parser) checkConnections() {
	if p.anyInvalid("targets.connections_per_vm", "cluster.max_vms") {
		return
	}
	perVM, vms := p.settings.Targets.ConnectionsPerVM, p.settings.Cluster.MaxVMs
	if perVM*vms > maxTargetConnections {
		line := max(p.lines["targets.connections_per_vm"], p.lines["cluster.max_vms"])
		p.fault(line, "targets.connections_per_vm", "cluster.max_vms times targets.connections_per_vm up to 64",
			"%d VMs with %d connections each exceed the worker's limit", vms, perVM)
	}
}

// checkKeepAlive lets one keep-alive time out without loss of the lease: it is
// sent after a third of the TTL, and the holder gives up after three quarters.
func (p *parser) checkKeepAlive() {
	if p.anyInvalid("platform.timeout", "platform.lease_ttl") {
		return
	}
	timeout, limit := p.settings.Platform.Timeout, p.settings.Platform.LeaseTTL*5/12
	if timeout > limit {
		line := max(p.lines["platform.timeout"], p.lines["platform.lease_ttl"], p.lineOf(p.keys["platform.timeout"]))
		p.fault(line, "platform.timeout", "at most 5/12 of platform.lease_ttl, that is "+formatDuration(limit),
			"%s leaves no time to repeat a lost keep-alive", formatDuration(timeout))
	}
}

// checkToken takes the peer token from its file and requires that peers
// authenticate each other in one way at least.
func (p *parser) checkToken() {
	inline, file := p.lines["peers.token"] > 0, p.settings.Peers.TokenFile
	switch {
	case inline && file != "":
		p.fault(p.lines["peers.token_file"], "peers.token_file", "one of peers.token and peers.token_file", "the token is set twice")
	case file != "":
		p.readToken(file)
	case !inline && p.settings.TLS.ClientCA == "":
		p.fault(p.lineOf(p.keys["peers.token"]), "peers.token", "peers.token, peers.token_file or tls.client_ca", "peers have no way to authenticate each other")
	}
}

func (p *parser) readToken(file string) {
	data, err := readFile(file)
	if err != nil {
		return // checkFiles reports it
	}
	if err := setToken(p.settings, strings.TrimSpace(string(data))); err != nil {
		p.fault(p.lines["peers.token_file"], "peers.token_file", p.keys["peers.token"].Allowed, "%s", err)
	}
}

func (p *parser) checkTLS() {
	t := p.settings.TLS
	if (t.Certificate == "") != (t.Key == "") {
		line := max(p.lines["tls.certificate"], p.lines["tls.key"])
		p.fault(line, "tls.certificate", "both tls.certificate and tls.key, or neither", "only one of the two is set")
	}
	if t.ClientCA != "" && t.Certificate == "" {
		p.fault(p.lines["tls.client_ca"], "tls.client_ca", "only together with tls.certificate", "client certificates need TLS")
	}
}

// checkFiles reports files that cannot be read, so that the daemon does not
// fail on them later.
func (p *parser) checkFiles() {
	for _, k := range Table() {
		if k.Type != "file" {
			continue
		}
		if path := p.filePath(k.Name); path != "" {
			if err := readable(path); err != nil {
				p.fault(p.lines[k.Name], k.Name, k.Allowed, "%s", err)
			}
		}
	}
}

func (p *parser) filePath(name string) string {
	return map[string]string{
		"peers.token_file": p.settings.Peers.TokenFile,
		"policy.bootstrap": p.settings.Policy.Bootstrap,
		"tls.certificate":  p.settings.TLS.Certificate,
		"tls.key":          p.settings.TLS.Key,
		"tls.client_ca":    p.settings.TLS.ClientCA,
	}[name]
}

func readable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return f.Close()
}
