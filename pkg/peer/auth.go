package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const (
	authHeader   = "Authorization"
	bearerPrefix = "Bearer "
	// addressHeader names the peer address of the dialing VM.
	addressHeader = "X-Peer-Address"
)

// authenticated reports whether the request presents the shared token or a
// client certificate that the TLS handshake has verified.
func (n *Node) authenticated(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get(authHeader), bearerPrefix)
	return ok && n.opts.Token != "" && sameToken(token, n.opts.Token)
}

// sameToken compares hashes, so that the time tells neither content nor length.
func sameToken(a, b string) bool {
	ha, hb := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(ha[:], hb[:]) == 1
}
