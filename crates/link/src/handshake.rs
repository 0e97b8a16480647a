//! The authentication handshake, which precedes the WebSocket upgrade.
//!
//! The dialer sends its hello, and the acceptor answers with its own. The dialer
//! sends its proof first and the acceptor only after it has checked that one, so
//! an unauthenticated dialer receives no proof from which to guess the secret.

use tokio::io::{AsyncRead, AsyncWrite};

use crate::Identity;
use crate::error::{Cause, Error, Step};
use crate::hello::{Announcement, Hello};
use crate::preface::Preface;
use crate::proof::{Proof, Side, Transcript, Verdict};

/// The reason that the acceptor sends to a dialer whose proof fails.
const FORGED: &str = "the proof fits none of the cluster's secrets";

/// Runs the dialer's side and returns the acceptor's identity.
pub(crate) async fn dial<S>(mut preface: Preface<'_, S>) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = send_hello(&mut preface).await?;
    let theirs = preface.read(Step::Hello).await?;
    let hello = checked_hello(&mut preface, &theirs)?;
    let transcript = Transcript {
        dialer: &ours,
        acceptor: &theirs,
    };
    let proof = Proof::new(&preface.options.secrets, Side::Dialer, transcript);
    let proof = preface.encode(Step::Proof, &proof)?;
    preface.write(Step::Proof, &proof).await?;
    let verdict = preface.read(Step::Proof).await?;
    match preface.decode(Step::Proof, &verdict)? {
        Verdict::Accepted(proof) => check(&preface, &proof, Side::Acceptor, transcript)?,
        Verdict::Refused { reason } => {
            return Err(preface.error(Step::Proof, Cause::Refused(reason)));
        }
    }
    Ok(hello.identity)
}

/// Runs the acceptor's side and returns the dialer's identity.
pub(crate) async fn accept<S>(mut preface: Preface<'_, S>) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let theirs = preface.read(Step::Hello).await?;
    let ours = send_hello(&mut preface).await?;
    let hello = checked_hello(&mut preface, &theirs)?;
    let transcript = Transcript {
        dialer: &theirs,
        acceptor: &ours,
    };
    let proof = preface.read(Step::Proof).await?;
    let proof = preface.decode(Step::Proof, &proof)?;
    let checked = check(&preface, &proof, Side::Dialer, transcript);
    let verdict = match &checked {
        Ok(()) => Verdict::Accepted(Proof::new(
            &preface.options.secrets,
            Side::Acceptor,
            transcript,
        )),
        Err(_) => Verdict::Refused {
            reason: FORGED.to_owned(),
        },
    };
    let verdict = preface.encode(Step::Proof, &verdict)?;
    preface.write(Step::Proof, &verdict).await?;
    checked.map(|()| hello.identity)
}

async fn send_hello<S>(preface: &mut Preface<'_, S>) -> Result<Vec<u8>, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = Hello::new(preface.options.version, &preface.options.identity);
    let bytes = preface.encode(Step::Hello, &hello)?;
    preface.write(Step::Hello, &bytes).await?;
    Ok(bytes)
}

/// Decodes a hello. Checks the version first, since the other fields may differ
/// in another version.
fn checked_hello<S>(preface: &mut Preface<'_, S>, bytes: &[u8]) -> Result<Hello, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let theirs = preface.decode::<Announcement>(Step::Hello, bytes)?.version;
    let ours = preface.options.version;
    if theirs != ours {
        return Err(preface.error(Step::Hello, Cause::Version { theirs, ours }));
    }
    let hello: Hello = preface.decode(Step::Hello, bytes)?;
    preface.peer = format!("{} ({})", preface.peer, hello.identity.process).into();
    Ok(hello)
}

fn check<S>(
    preface: &Preface<'_, S>,
    proof: &Proof,
    side: Side,
    transcript: Transcript<'_>,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    if proof.verifies(&preface.options.secrets, side, transcript) {
        return Ok(());
    }
    Err(preface.error(Step::Proof, Cause::Forged))
}
