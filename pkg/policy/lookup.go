package policy

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HashToken returns the lower-case hex SHA-256 hash of a bearer token, as the
// document stores it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Workspace returns the name of the workspace that the bearer token belongs
// to. It compares every hash, so that the response time doesn't reveal which
// one matched.
func (d *Document) Workspace(token string) (name string, ok bool) {
	if token == "" {
		return "", false
	}
	hash := HashToken(token)
	for candidate, ws := range d.Workspaces {
		for _, h := range ws.TokenHashes {
			if sameHash(h, hash) {
				name, ok = candidate, true
			}
		}
	}
	return name, ok
}

// Operator returns the name and the role of the operator that the bearer token
// belongs to. It compares every hash, so that the response time doesn't reveal
// which one matched.
func (d *Document) Operator(token string) (name string, role Role, ok bool) {
	if token == "" {
		return "", "", false
	}
	hash := HashToken(token)
	for candidate, op := range d.Operators {
		if sameHash(op.TokenHash, hash) {
			name, role, ok = candidate, op.Role, true
		}
	}
	return name, role, ok
}

func sameHash(stored, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(stored)), []byte(hash)) == 1
}

// rank returns the position of the role in the order of permissions; an unknown
// role has rank 0 and permits nothing.
func (r Role) rank() int {
	switch r {
	case RoleViewer:
		return 1
	case RoleOperator:
		return 2
	case RoleAdmin:
		return 3
	default:
		return 0
	}
}

// Includes reports whether r permits everything that needed permits; it is false
// if either role is unknown.
func (r Role) Includes(needed Role) bool {
	return r.rank() > 0 && needed.rank() > 0 && r.rank() >= needed.rank()
}
