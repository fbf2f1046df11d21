// Package identifier tells builds of the program apart without a version control system.
package identifier

import (
	"bytes"
	"crypto/sha256"
	"debug/elf"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// errNoBuildID means that an executable was linked without a build ID of Go.
var errNoBuildID = eris.New("executable has no build ID of Go")

// Running returns the identity of the build that runs.
func Running() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("finding the executable: %w", err)
	}
	return OfFile(path)
}

// OfFile returns the identity of an executable: a digest of its content. It is the last part of
// the build ID, which the go command computes after linking, so that a process need not read all
// of its executable. An executable without one is hashed.
func OfFile(path string) (string, error) {
	id, err := buildID(path)
	if err != nil {
		return hash(path)
	}
	return id[strings.LastIndexByte(id, '/')+1:], nil
}

const (
	noteSection = ".note.go.buildid"
	noteName    = "Go\x00\x00"
	// noteHeader is the size of a note's three numbers: the lengths of name and text, and the type.
	noteHeader = 12
)

// buildID returns the build ID in an ELF note of an executable.
func buildID(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", fmt.Errorf("opening the executable: %w", err)
	}
	defer func() { _ = file.Close() }()
	section := file.Section(noteSection)
	if section == nil {
		return "", errNoBuildID
	}
	note, err := section.Data()
	if err != nil {
		return "", fmt.Errorf("reading the note: %w", err)
	}
	return noteText(note, file.ByteOrder)
}

func noteText(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeader+len(noteName) {
		return "", errNoBuildID
	}
	size := uint64(order.Uint32(note[4:]))
	name, text := note[noteHeader:noteHeader+len(noteName)], note[noteHeader+len(noteName):]
	if !bytes.Equal(name, []byte(noteName)) || size == 0 || size > uint64(len(text)) {
		return "", errNoBuildID
	}
	return string(text[:size]), nil
}

// hash returns the SHA-256 digest of a file, shortened like that in a build ID.
func hash(path string) (string, error) {
	const digestBytes = 15
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("opening the executable: %w", err)
	}
	defer func() { _ = file.Close() }()
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return "", fmt.Errorf("reading the executable: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:digestBytes]), nil
}
