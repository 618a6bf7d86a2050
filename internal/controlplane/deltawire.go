package controlplane

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"junctionring/configdelta"
	"junctionring/internal/controlplane/versionpb"
)

// PartTypeURL names the resource type of the incremental form.
const PartTypeURL = "type.googleapis.com/junctionring.v1.Part"

// ManifestName is the resource that each response of the incremental form has once.
const ManifestName = "manifest"

// EncodePiece writes one piece of an increment as a response of delta ADS.
func EncodePiece(p configdelta.Piece) (*discovery.DeltaDiscoveryResponse, error) {
	target := configdelta.Ref{Number: p.Number, Hash: p.Hash}
	r := &discovery.DeltaDiscoveryResponse{TypeUrl: PartTypeURL, SystemVersionInfo: word(p.Number), RemovedResources: p.Remove,
		Nonce: fmt.Sprintf("%s/%d", EncodeRef(target), p.Index)}
	add := func(name, version string, part *versionpb.Part) error {
		resource, err := anypb.New(part)
		if err != nil {
			return err
		}
		r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: version, Resource: resource})
		return nil
	}
	manifest := &versionpb.Manifest{Number: p.Number, Rollback: p.Rollback, Epoch: p.Epoch, Hash: p.Hash[:], Whole: p.Whole,
		Piece: int32(p.Index), Pieces: int32(p.Pieces)}
	if !p.Whole {
		manifest.BaseNumber, manifest.BaseHash = p.Base.Number, p.Base.Hash[:]
	}
	if err := add(ManifestName, word(p.Number), &versionpb.Part{Kind: &versionpb.Part_Manifest{Manifest: manifest}}); err != nil {
		return nil, err
	}
	for _, part := range p.Set {
		content := &versionpb.Part_Content{Content: []byte(part.Content)}
		if err := add(part.Name, word(p.Number), &versionpb.Part{Kind: content}); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// DecodePiece reads a response of delta ADS. Its error is a *configdelta.Refusal.
func DecodePiece(m *discovery.DeltaDiscoveryResponse) (configdelta.Piece, error) {
	var p configdelta.Piece
	if m.TypeUrl != PartTypeURL {
		return p, malformed(p, "resource type %q is not %q", m.TypeUrl, PartTypeURL)
	}
	found := false
	for _, resource := range m.Resources {
		var part versionpb.Part
		if err := resource.GetResource().UnmarshalTo(&part); err != nil {
			return p, malformed(p, "resource %q can't be read: %v", resource.GetName(), err)
		}
		if resource.Name != ManifestName {
			content, err := configdelta.NewPart(resource.Name, string(part.GetContent()))
			if err != nil {
				return p, malformed(p, "%v", err)
			}
			p.Set = append(p.Set, content)
			continue
		}
		if found || part.GetManifest() == nil {
			return p, malformed(p, "the manifest is there twice, or is none")
		}
		found = true
		if err := decodeManifest(part.GetManifest(), &p); err != nil {
			return p, err
		}
	}
	if !found {
		return p, malformed(p, "there is no manifest")
	}
	if m.SystemVersionInfo != word(p.Number) {
		return p, malformed(p, "system_version_info %q for version %d", m.SystemVersionInfo, p.Number)
	}
	p.Remove = m.RemovedResources
	return p, nil
}

func decodeManifest(m *versionpb.Manifest, p *configdelta.Piece) error {
	p.Number, p.Rollback, p.Epoch, p.Whole = m.Number, m.Rollback, m.Epoch, m.Whole
	p.Index, p.Pieces = int(m.Piece), int(m.Pieces)
	if len(m.Hash) != len(p.Hash) {
		return malformed(*p, "a hash of %d bytes", len(m.Hash))
	}
	copy(p.Hash[:], m.Hash)
	if m.Whole {
		return nil
	}
	if len(m.BaseHash) != len(p.Base.Hash) {
		return malformed(*p, "a base hash of %d bytes", len(m.BaseHash))
	}
	p.Base.Number = m.BaseNumber
	copy(p.Base.Hash[:], m.BaseHash)
	return nil
}

func malformed(p configdelta.Piece, format string, args ...any) error {
	return &configdelta.Refusal{Reason: configdelta.Malformed, Number: p.Number, Detail: fmt.Sprintf(format, args...)}
}

// EncodeRef writes the name of a base, as a request's initial_resource_versions says what the reader holds.
func EncodeRef(r configdelta.Ref) string {
	return fmt.Sprintf("%d:%s", r.Number, hex.EncodeToString(r.Hash[:]))
}

// DecodeRef reads what EncodeRef wrote.
func DecodeRef(text string) (configdelta.Ref, error) {
	var r configdelta.Ref
	number, hash, _ := strings.Cut(text, ":")
	sum, err := hex.DecodeString(hash)
	if err != nil || len(sum) != len(r.Hash) {
		return r, fmt.Errorf("%q names no base", text)
	}
	copy(r.Hash[:], sum)
	r.Number, err = strconv.ParseInt(number, 10, 64)
	return r, err
}
