// Command protogen regenerates the Go code of api/. It compiles the .proto files itself and passes them to the
// two generators as protoc would, so that nothing but the Go tool chain is needed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	log.SetFlags(0)
	if len(os.Args) < 3 {
		log.Fatal("protogen ROOT FILE.proto ...: files relative to ROOT")
	}
	if err := generate(os.Args[1], os.Args[2:]); err != nil {
		log.Fatal("protogen: ", err)
	}
}

func generate(root string, files []string) error {
	compiler := protocompile.Compiler{SourceInfoMode: protocompile.SourceInfoStandard,
		Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{root}})}
	linked, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: proto.String("paths=source_relative")}
	for _, f := range linked {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(f))
	}
	in, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-grpc"} {
		cmd := exec.Command("go", "tool", plugin)
		cmd.Stdin, cmd.Stderr = bytes.NewReader(in), os.Stderr
		out, err := cmd.Output()
		if err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		var response pluginpb.CodeGeneratorResponse
		if err := proto.Unmarshal(out, &response); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		if response.Error != nil {
			return fmt.Errorf("%s: %s", plugin, response.GetError())
		}
		for _, f := range response.File {
			if err := os.WriteFile(filepath.Join(root, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}
