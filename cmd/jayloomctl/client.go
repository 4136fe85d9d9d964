package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/tlsconf"
)

// retryPause is the pause between tries at different control VMs.
const retryPause = 100 * time.Millisecond

// withControl calls f with a client of one control VM after another until one
// answers or the time is over. f must be safe to repeat.
func withControl(f func(context.Context, controlpb.ControlClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(global.Timeout)*time.Millisecond)
	defer cancel()
	ctx, err := withCredential(ctx)
	if err != nil {
		return err
	}
	for {
		var last error
		for _, address := range global.Control {
			last = callOne(ctx, address, f)
			if final(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(last, "no control VM answered in time")
		case <-time.After(retryPause):
		}
	}
}

// final reports whether asking another control VM would change nothing.
func final(err error) bool {
	if err == nil || status.Code(err) == codes.PermissionDenied {
		return true
	}
	var refused *rescode.Error
	return errors.As(err, &refused) && !unsettled(refused.Code)
}

// unsettled reports whether the command has to be sent again, under the same
// request identity, to learn its result.
func unsettled(code rescode.Code) bool {
	return code == rescode.NotLeader || code == rescode.ControlUnavailable
}

func callOne(ctx context.Context, address string, f func(context.Context, controlpb.ControlClient) error) error {
	files := tlsconf.Files{Cert: global.TLSCert, Key: global.TLSKey, CA: global.TLSCA}
	credentials, err := files.GRPCCredentials()
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(credentials))
	if err != nil {
		return errors.Wrapf(err, "address of control VM %s", address)
	}
	defer conn.Close()
	callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return f(callCtx, controlpb.NewControlClient(conn))
}

func withCredential(ctx context.Context) (context.Context, error) {
	if global.CredentialFile == "" {
		return ctx, nil
	}
	data, err := os.ReadFile(global.CredentialFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operator credential")
	}
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+strings.TrimSpace(string(data))), nil
}

// propose sends one change and prints the revision that it produced.
func propose(command *controlpb.Command) error {
	result, err := send(command)
	if err != nil {
		return err
	}
	return printResult(result)
}

// send sends one change and returns its result; a refusal is an error.
func send(command *controlpb.Command) (*controlpb.CommandResult, error) {
	command.RequestId = global.RequestID
	if command.RequestId == "" {
		command.RequestId = rand.Text()
	}
	command.ExpectedRevision = global.Expected
	command.Actor = os.Getenv("USER")
	var result *controlpb.CommandResult
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		reply, err := client.Propose(ctx, &controlpb.ProposeRequest{Command: command})
		if err != nil {
			return err
		}
		result = reply.Result
		return resultError(result)
	})
	return result, err
}

func resultError(result *controlpb.CommandResult) error {
	if result.GetCode() == uint32(rescode.OK) {
		return nil
	}
	return &rescode.Error{Code: rescode.Code(result.Code), Detail: result.Message}
}

func printResult(result *controlpb.CommandResult) error {
	if global.JSON {
		fmt.Println(protojson.Format(result))
		return nil
	}
	fmt.Printf("applied, revision %d\n", result.Revision)
	return nil
}
