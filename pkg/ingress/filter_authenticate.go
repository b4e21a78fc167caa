package ingress

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// authenticate looks up the workspace of the bearer token in the current
// configuration document.
func (in *Ingress) authenticate(c *gin.Context) {
	doc := in.Config.Current()
	if doc == nil {
		in.fail(c, errkind.New(errkind.Unavailable, "no configuration has reached this VM yet").WithRetryAfter(shortRetryAfter))
		return
	}
	scheme, token, _ := strings.Cut(c.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		in.fail(c, errkind.New(errkind.Unauthenticated, "the request has no bearer token"))
		return
	}
	workspace, ok := in.tokens.lookup(doc, strings.TrimSpace(token))
	if !ok {
		in.fail(c, errkind.New(errkind.Unauthenticated, "no workspace has this token"))
		return
	}
	call := callOf(c)
	call.config, call.workspace = doc, workspace
	// The token must not reach handlers or logs.
	c.Request.Header.Del("Authorization")
	c.Next()
}

// hashPrefixLength is the number of leading hash bytes by which candidates are
// looked up. The hash prefix of an unknown token tells an attacker nothing about
// the token.
const hashPrefixLength = 8

type tokenEntry struct {
	hash      [sha256.Size]byte
	workspace string
}

// tokenIndex maps token hashes to workspaces. It is rebuilt for each
// configuration document.
type tokenIndex struct {
	built atomic.Pointer[builtIndex]
}

type builtIndex struct {
	doc      *policy.Document
	byPrefix map[[hashPrefixLength]byte][]tokenEntry
}

func (x *tokenIndex) lookup(doc *policy.Document, token string) (string, bool) {
	built := x.built.Load()
	if built == nil || built.doc != doc {
		built = buildIndex(doc)
		x.built.Store(built)
	}
	hash := sha256.Sum256([]byte(token))
	workspace, found := "", false
	for _, e := range built.byPrefix[[hashPrefixLength]byte(hash[:hashPrefixLength])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			workspace, found = e.workspace, true
		}
	}
	return workspace, found
}

func buildIndex(doc *policy.Document) *builtIndex {
	b := &builtIndex{doc: doc, byPrefix: map[[hashPrefixLength]byte][]tokenEntry{}}
	for name, w := range doc.Workspaces {
		for _, text := range w.TokenHashes {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue // policy validation reports it; no token can match
			}
			prefix := [hashPrefixLength]byte(raw[:hashPrefixLength])
			b.byPrefix[prefix] = append(b.byPrefix[prefix], tokenEntry{hash: [sha256.Size]byte(raw), workspace: name})
		}
	}
	return b
}
