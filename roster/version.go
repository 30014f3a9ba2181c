package roster

import (
	"crypto/sha256"
	"encoding/hex"
)

// Version identifies the version of a target's software. Versions are only compared for equality.
// The empty Version means that it isn't known.
type Version string

// maxVersion is the maximum length of a version that is kept as it is, in bytes.
const maxVersion = 64

// digestPrefix begins the Version of a longer one. With the digest it is longer than maxVersion, so
// that no version kept as it is equals it.
const digestPrefix = "sha256:"

// NewVersion returns the Version with the given name: the name, or its digest if it is long, since
// nodes keep and exchange versions.
func NewVersion(name string) Version {
	if len(name) <= maxVersion {
		return Version(name)
	}
	sum := sha256.Sum256([]byte(name))
	return Version(digestPrefix + hex.EncodeToString(sum[:]))
}
