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
	// addressHeader carries the peer address of the dialing VM.
	addressHeader = "X-Peer-Address"
)

// authenticated reports whether the request has the shared token or a client
// certificate that was verified in the TLS handshake.
func (n *Node) authenticated(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get(authHeader), bearerPrefix)
	return ok && n.opts.Token != "" && equalTokens(token, n.opts.Token)
}

// equalTokens compares hashes in constant time, so that the duration reveals
// neither the content nor the length of the token.
func equalTokens(a, b string) bool {
	ha, hb := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(ha[:], hb[:]) == 1
}
