//! The ids of the RPCs in progress in this router. To a node a second RPC with the same id would look like a
//! copy of the first, and it could receive the first one's answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The set of ids in use.
#[derive(Debug, Default)]
pub struct ActiveRequestIds(RefCell<BTreeSet<Rc<str>>>);

/// An id in use, as long as its RPC or one of its attempts is in progress. Released on drop.
#[derive(Debug)]
pub struct ActiveRequestId {
    ids: Rc<ActiveRequestIds>,
    id: Rc<str>,
}

impl ActiveRequestIds {
    /// Registers an id. Returns `None` if another RPC uses it.
    pub fn register(self: &Rc<Self>, id: Rc<str>) -> Option<ActiveRequestId> {
        let is_new = self.0.borrow_mut().insert(Rc::clone(&id));
        is_new.then(|| ActiveRequestId { ids: Rc::clone(self), id })
    }
}

impl Drop for ActiveRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
