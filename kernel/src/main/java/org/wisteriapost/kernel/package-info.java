/**
 * Foundation that all roles share: codes, findings, settings, the event loop and
 * plug-ins. Independent of requests, bundles and weights.
 */
package org.wisteriapost.kernel;
